/** The operators' HTTP port: status, conditions and gauges. */
package org.crocusgrade.daemon.ops;
