import { readFileSync } from "node:fs";
import type { TlsFiles } from "./TlsFiles";

interface TlsFileNames {
  readonly keyFile: string;
  readonly certFile: string;
  readonly caFile: string;
}

/** Reads the PEM files named in the settings. Throws when one cannot be read. */
export function readTlsFiles(names: TlsFileNames | undefined): TlsFiles | undefined {
  if (names === undefined) {
    return undefined;
  }
  return {
    key: readFileSync(names.keyFile, "utf8"),
    cert: readFileSync(names.certFile, "utf8"),
    ca: readFileSync(names.caFile, "utf8"),
  };
}
