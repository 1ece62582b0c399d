/** File of a data folder with the id of the process that wrote to the folder last. */
export const ownerFileName = "owner";
