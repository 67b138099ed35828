/** What the decisions need from outside, as interfaces: clock, platform, workers. */
package org.crocusgrade.core.port;
