/** Histories of what callers observed, and the checker that finds violated guarantees in them. */
package org.chivevale.load.check;
