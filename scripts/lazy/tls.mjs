// The name has no prefix, since the build would lead node:tls back to this file.
export const connect = (...args) => require("tls").connect(...args);
export const createServer = (...args) => require("tls").createServer(...args);
