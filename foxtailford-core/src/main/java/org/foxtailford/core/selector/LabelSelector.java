package org.foxtailford.core.selector;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.foxtailford.core.util.Assert;

/**
 * Condition on labels, such as {@code zone in (a,b), tier=gold, !draining}. Immutable.
 *
 * <p>A selector consists of terms, separated by commas, which must all hold: {@code name}, {@code
 * !name}, {@code name=value}, {@code name!=value}, {@code name in (v,…)} and {@code name notin
 * (v,…)}. A term with {@code !=} or {@code notin} also holds if the label is absent.
 */
public final class LabelSelector {

  private static final String WORD = "[A-Za-z0-9][A-Za-z0-9._/-]*";
  private static final Pattern EXISTS = Pattern.compile("(!?)\\s*(" + WORD + ")");
  private static final Pattern EQUALITY =
      Pattern.compile("(" + WORD + ")\\s*(!=|==|=)\\s*(" + WORD + ")");
  private static final Pattern MEMBERSHIP =
      Pattern.compile(
          "(" + WORD + ")\\s+(in|notin)\\s*\\(\\s*(" + WORD + "(?:\\s*,\\s*" + WORD + ")*)\\s*\\)");
  private static final Pattern TERM_SEPARATOR = Pattern.compile(",(?![^(]*\\))");

  private final String text;
  private final List<Term> terms;

  private LabelSelector(String text, List<Term> terms) {
    this.text = text;
    this.terms = terms;
  }

  /** Condition on a single label. */
  private record Term(String label, Predicate<Map<String, String>> condition) {}

  /**
   * Parses a selector.
   *
   * @throws IllegalArgumentException if a term has none of the supported forms; the message lists
   *     all such terms
   */
  public static LabelSelector parse(String text) {
    Assert.notNull(text, "text");
    List<Term> terms = new ArrayList<>();
    List<String> invalidTerms = new ArrayList<>();
    for (String part : TERM_SEPARATOR.split(text, -1)) {
      parseTerm(part.strip()).ifPresentOrElse(terms::add, () -> invalidTerms.add(part.strip()));
    }
    if (!invalidTerms.isEmpty()) {
      String quoted =
          invalidTerms.stream().map(t -> '"' + t + '"').collect(Collectors.joining(", "));
      throw new IllegalArgumentException("invalid selector terms: " + quoted);
    }
    return new LabelSelector(text, List.copyOf(terms));
  }

  private static Optional<Term> parseTerm(String term) {
    Matcher exists = EXISTS.matcher(term);
    if (exists.matches()) {
      String name = exists.group(2);
      boolean expected = exists.group(1).isEmpty();
      return Optional.of(new Term(name, labels -> labels.containsKey(name) == expected));
    }
    Matcher equality = EQUALITY.matcher(term);
    if (equality.matches()) {
      boolean expected = !equality.group(2).equals("!=");
      return Optional.of(membershipTerm(equality.group(1), Set.of(equality.group(3)), expected));
    }
    Matcher member = MEMBERSHIP.matcher(term);
    if (member.matches()) {
      Set<String> values = Set.copyOf(List.of(member.group(3).strip().split("\\s*,\\s*")));
      return Optional.of(membershipTerm(member.group(1), values, member.group(2).equals("in")));
    }
    return Optional.empty();
  }

  private static Term membershipTerm(String name, Set<String> values, boolean expected) {
    return new Term(
        name,
        labels -> {
          String value = labels.get(name);
          return (value != null && values.contains(value)) == expected;
        });
  }

  /** Returns whether all terms hold for the labels. */
  public boolean matches(Map<String, String> labels) {
    return terms.stream().allMatch(term -> term.condition().test(labels));
  }

  /** Returns the distinct names of the labels that the terms refer to, in order of appearance. */
  public List<String> labelNames() {
    return terms.stream().map(Term::label).distinct().toList();
  }

  @Override
  public String toString() {
    return text;
  }
}
