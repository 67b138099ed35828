/** Maintenance waves and image roll-outs within availability budgets. */
package org.crocusgrade.core.maintenance;
