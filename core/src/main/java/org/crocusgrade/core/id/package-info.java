/** Value types for the ids of the fleet; each validates its value on construction. */
package org.crocusgrade.core.id;
