/** Intents, plans and confirmations. */
package org.chivevale.control.internal.intent;
