import { hashSources } from "./hashSources.mjs";

/** Options that all bundles of this repository share. */
export const bundleOptions = {
  outExtension: { ".js": ".mjs" },
  bundle: true,
  format: "esm",
  platform: "node",
  // jsonc-parser's main file loads its parts in a way that cannot be bundled; its module file can.
  mainFields: ["module", "main"],
  target: "node20",
  minifySyntax: true,
  sourcemap: true,
  logLevel: "warning",
  define: { BUILD_ID: JSON.stringify(hashSources()) },
  // Bundled CommonJS dependencies call require for Node's own modules.
  banner: {
    js: 'import { createRequire as createRequireForBundle } from "node:module"; const require = createRequireForBundle(import.meta.url);',
  },
  external: ["cbor-extract"],
};
