/** Agreement among control processes: the log, its storage and the state it drives. */
package org.chivevale.consensus;
