package org.foxtailford.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An answer of the operators' interface.
 *
 * @param body JSON of the answer
 * @param version version from the entity tag; zero if there is none
 */
record OperatorReply(JsonNode body, long version) {}
