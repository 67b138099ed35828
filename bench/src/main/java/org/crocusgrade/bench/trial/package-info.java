/** The main job from end to end on embedded stand-ins, and what it showed. */
package org.crocusgrade.bench.trial;
