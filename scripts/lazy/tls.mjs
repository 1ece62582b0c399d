// Without the prefix, which the build would lead back to this file.
export const connect = (...args) => require("tls").connect(...args);
export const createServer = (...args) => require("tls").createServer(...args);
