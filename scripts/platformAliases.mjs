/** Modules in whose place the platform's programs get others, so that they start with less work. */
export const platformAliases = {
  // Loaded at their first use. The platform's frames are not encrypted, and a coordinator needs random identities only for
  // a new data folder and a new segment of its log.
  "node:crypto": "./scripts/lazy/crypto.mjs",
  "node:tls": "./scripts/lazy/tls.mjs",
  // Without the native part, which the main file loads by way of node:module.
  "cbor-x": "./node_modules/cbor-x/index.js",
};
