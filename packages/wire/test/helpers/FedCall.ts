import { request as requestHttp } from "node:http";
import type { ClientRequest, RequestOptions } from "node:http";
import { request as requestHttps } from "node:https";
import { ResponseFeeder } from "@clementinemux/wire/ResponseFeeder";

/** A request whose response is read through a `ResponseFeeder`. */
export class FedCall {
  readonly request: ClientRequest;
  readonly feeder: ResponseFeeder;
  /** Body, then what ended the response: `end`, or the message of the error. */
  text = "";
  pieces = 0;
  /** Most pieces that were received between two turns of the event loop. */
  maxPiecesPerTurn = 0;
  readonly exceeded: string[] = [];
  readonly done: Promise<void>;

  constructor(options: RequestOptions, isSecure = false) {
    const send = isSecure ? requestHttps : requestHttp;
    let turnPieces = 0;
    this.request = send({ host: "127.0.0.1", ...options }, (response) => {
      response.on("data", (chunk: Buffer) => {
        this.text += chunk.toString();
        this.pieces += 1;
        turnPieces += 1;
        this.maxPiecesPerTurn = Math.max(this.maxPiecesPerTurn, turnPieces);
      });
      response.on("end", () => (this.text += " end"));
      response.on("error", ({ message }) => (this.text += ` ${message}`));
    });
    this.request.on("error", ({ message }) => (this.text += ` ${message}`));
    this.feeder = new ResponseFeeder(this.request, (detail) => {
      this.exceeded.push(detail);
      this.request.destroy();
    });
    const startTurn = (): void => {
      turnPieces = 0;
      turn = setImmediate(startTurn);
    };
    let turn = setImmediate(startTurn);
    this.done = new Promise((resolve) => {
      this.request.once("close", () => {
        clearImmediate(turn);
        resolve();
      });
    });
    this.request.end();
  }
}
