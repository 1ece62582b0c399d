/**
 * Counts are sent in this unit. Tens of thousands of choices are made between two polls; small numbers take
 * one byte.
 */
export const choicesPerCountUnit = 8;
