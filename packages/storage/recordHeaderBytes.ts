/** Size of the length and the checksum before the payload of a record. */
export const recordHeaderBytes = 8;
