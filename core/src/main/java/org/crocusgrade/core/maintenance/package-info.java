/** Waves of maintenance and host image roll-outs within each service's availability budget. */
package org.crocusgrade.core.maintenance;
