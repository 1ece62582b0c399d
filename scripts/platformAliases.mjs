/** Modules in whose place the platform's programs get others, so that they start with less work. */
export const platformAliases = {
  // Loaded at its first use: it brings in all of node:crypto, and the platform's frames are not encrypted.
  "node:tls": "./scripts/lazy/tls.mjs",
  // Without the native part, which the main file loads by way of node:module.
  "cbor-x": "./node_modules/cbor-x/index.js",
};
