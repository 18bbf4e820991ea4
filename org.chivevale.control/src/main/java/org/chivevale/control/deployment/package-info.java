/** The API of a control process for adapters: whole configurations and endpoint announcements. */
package org.chivevale.control.deployment;
