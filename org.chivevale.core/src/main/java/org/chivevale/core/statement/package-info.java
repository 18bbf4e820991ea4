/** What callers' statements may do. */
package org.chivevale.core.statement;
