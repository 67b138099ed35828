/** Membership of daemons and the leases that roles rest on. */
package org.crocusgrade.core.member;
