/** Operators' intents, their plans, and the confirmation of plans. */
package org.chivevale.control.internal.intent;
