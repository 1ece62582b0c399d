/** Begins the key of each request; keys of prompt parts begin otherwise. */
export const requestKeyPrefix = "request/";
