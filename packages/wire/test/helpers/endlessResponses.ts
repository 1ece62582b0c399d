interface EndlessResponse {
  /** First bytes of the response. */
  readonly first: string;
  /** Written repeatedly at full speed. */
  readonly full: string;
  /** Written repeatedly at intervals. */
  readonly slow: string;
}

const block = "x".repeat(65_536);
const head = "HTTP/1.1 200 OK\r\n";
const chunkedHead = `${head}transfer-encoding: chunked\r\n\r\n`;

/** Responses that never end, by the part that is endless. */
export const endlessResponses: Readonly<Record<string, EndlessResponse>> = {
  "line ends before the head": { first: "", full: "\r\n".repeat(32_768), slow: "\r\n" },
  "a status line": { first: "HTTP/1.1 200 ", full: block, slow: "x" },
  "one header": { first: `${head}x-long: `, full: block, slow: "x" },
  "header lines": { first: head, full: "x-more: 1\r\n".repeat(500), slow: "x-more: 1\r\n" },
  "provisional answers": {
    first: "",
    full: "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100),
    slow: "HTTP/1.1 103 Early Hints\r\n\r\n",
  },
  "a body without length": { first: `${head}\r\n`, full: block, slow: "x" },
  "a body in chunks": { first: chunkedHead, full: `10000\r\n${block}\r\n`, slow: "1\r\nx\r\n" },
  "a chunk size": { first: chunkedHead, full: "0".repeat(65_536), slow: "0" },
  "a chunk extension": { first: `${chunkedHead}1;`, full: block, slow: "x" },
  trailers: { first: `${chunkedHead}0\r\n`, full: "x-more: 1\r\n".repeat(500), slow: "x-more: 1\r\n" },
};
