/** What adapters need of a control process: whole configurations and announcements. */
package org.chivevale.control.deployment;
