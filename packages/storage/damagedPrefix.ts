/** Start of the names of files that were set aside since they are damaged. */
export const damagedPrefix = "damaged-";
