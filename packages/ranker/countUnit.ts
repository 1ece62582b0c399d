/** Choices are sent in this unit: tens of thousands are made between two looks, and small numbers take one byte. */
export const countUnit = 8;
