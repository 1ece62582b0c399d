import type { Server } from "node:http";
import type { CallerLimits } from "@clementinemux/routes/CallerLimits";

/** Node reads this limit when a connection opens; its types leave it out. */
interface ParserLimits {
  maxHeaderSize: number;
}

/**
 * Smallest limit of the parser, which also bounds trailers. A connection keeps the limit with which it was opened, so that the
 * limit of the document, which may be raised, is checked apart from it.
 */
const minParserBytes = 65_536;
/** Largest limit: a parser copies what it holds of a value with each piece of it. */
const maxParserBytes = 1_048_576;

/** Applies the limits of a document to the server for callers. */
export function applyCallerLimits(server: Server, limits: CallerLimits): void {
  const parser = server as Server & ParserLimits;
  const maxHeaderSize = Math.min(maxParserBytes, Math.max(minParserBytes, limits.maxHeaderBytes + 1));
  const isRaised = maxHeaderSize > parser.maxHeaderSize;
  parser.maxHeaderSize = maxHeaderSize;
  server.keepAliveTimeout = limits.idleTimeoutMs;
  server.headersTimeout = limits.headerTimeoutMs;
  if (isRaised) {
    // Their parsers would reject what is allowed now.
    server.closeIdleConnections();
  }
}
