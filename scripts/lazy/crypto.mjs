// The name has no prefix, since the build would lead node:crypto back to this file.
export const randomUUID = () => require("crypto").randomUUID();
export const createHash = (...args) => require("crypto").createHash(...args);
