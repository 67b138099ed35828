/** Service files, the configuration in force, and how one is published. */
package org.crocusgrade.core.config;
