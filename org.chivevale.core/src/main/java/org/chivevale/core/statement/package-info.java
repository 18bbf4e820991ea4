/** Scanning and classification of callers' statements. */
package org.chivevale.core.statement;
