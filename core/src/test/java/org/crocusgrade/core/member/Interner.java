package org.crocusgrade.core.member;

import java.util.HashMap;
import java.util.Map;

/** Assigns numbers to values; equal values get the same number. */
final class Interner {
    private final Map<Object, Integer> numbers = new HashMap<>();

    int number(Object value) {
        Integer known = numbers.get(value);
        if (known == null) {
            known = numbers.size();
            numbers.put(value, known);
        }
        return known;
    }
}
