/** Links between entry VMs: protobuf frames over TCP, on Netty. */
@NullMarked
package org.foxtailford.net.peer;

import org.jspecify.annotations.NullMarked;
