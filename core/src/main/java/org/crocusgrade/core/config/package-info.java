/** Reading, validation, publication and distribution of the configuration. */
package org.crocusgrade.core.config;
