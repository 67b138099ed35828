/** The operators' port. */
package org.crocusgrade.daemon.ops;
