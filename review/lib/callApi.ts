import { request } from "node:http";

interface ApiAnswer {
  readonly status: number;
  readonly text: string;
}

const timeoutMs = 1000;
/** Callers wait longer for an answer to a large body. */
const largeBodyBytes = 100_000;
const largeTimeoutMs = 5000;

/** Sends one call to a coordinator on a new connection. Resolves with null without an answer in time. */
export function callApi(
  address: { readonly host: string; readonly port: number },
  method: string,
  path: string,
  body: string | null = null,
): Promise<ApiAnswer | null> {
  return new Promise((resolve) => {
    const headers = body === null ? {} : { "Content-Type": "application/json" };
    const call = request({ ...address, method, path, headers, agent: false });
    const isLarge = (body?.length ?? 0) > largeBodyBytes;
    call.setTimeout(isLarge ? largeTimeoutMs : timeoutMs, () => call.destroy());
    call.on("error", () => {
      resolve(null);
    });
    call.on("response", (response) => {
      let text = "";
      response.on("data", (chunk: Buffer) => {
        text += chunk.toString();
      });
      response.on("error", () => {
        resolve(null);
      });
      response.on("end", () => {
        resolve({ status: response.statusCode ?? 0, text });
      });
    });
    call.end(body ?? undefined);
  });
}
