import { request as sendRequest } from "node:http";

const deadlineMs = 4000;

/** Sends a lookup of `team-a` on a new connection. Resolves with the status of the answer; null without one. */
export function sendLookup(address: string, id: string, note = "x"): Promise<number | null> {
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve) => {
    const call = sendRequest({
      host,
      port: Number(port),
      path: "/stock/42",
      headers: {
        Host: "app.example",
        "Attempt-Id": id,
        "Deadline-Ms": String(deadlineMs),
        Authorization: "Bearer key-a",
        Note: note,
      },
      agent: false,
    });
    call.setTimeout(deadlineMs, () => call.destroy());
    call.on("error", () => {
      resolve(null);
    });
    call.on("response", (response) => {
      response.resume();
      response.on("error", () => undefined);
      resolve(response.statusCode ?? null);
    });
    call.end();
  });
}
