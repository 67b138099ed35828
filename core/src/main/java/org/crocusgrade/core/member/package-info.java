/** Membership of daemons, their authority to own racks, and take-overs from failed daemons. */
package org.crocusgrade.core.member;
