// Stands in for node:tls in the programs of the platform, whose frames are not encrypted: loads it at its first use, since
// it brings in all of node:crypto.
exports.connect = (...args) => require("node:tls").connect(...args);
exports.createServer = (...args) => require("node:tls").createServer(...args);
