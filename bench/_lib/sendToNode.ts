import { type Agent, request as sendRequest } from "node:http";
import { headerNames } from "../../platform/headerNames";
import { derivePorts, type NodePlace, type OperatorRoute } from "../../platform/testing/platformFiles";

/** A request to a route, and the connection that it is sent over. */
export interface NodeRequest {
    readonly route: OperatorRoute;
    readonly requestId: string;
    readonly path: string;
    readonly agent: Agent | false;
    /** Time that the caller will wait, in milliseconds. */
    readonly deadlineMs: number;
    readonly body?: string | undefined;
}

/** What a caller got; `status` is 0 without a complete answer. */
export interface NodeAnswer {
    readonly status: number;
    readonly body: string;
}

const noAnswer: NodeAnswer = { status: 0, body: "" };

/** Sends a request to the entry of a node; never rejects, and gives up after twice its deadline. */
export const sendToNode = (
    place: NodePlace,
    { route, requestId, path, agent, deadlineMs, body }: NodeRequest,
): Promise<NodeAnswer> =>
    new Promise(resolve => {
        const request = sendRequest({
            host: place.host,
            port: derivePorts(place).entry,
            method: route.idempotent ? "GET" : "POST",
            path,
            agent,
            timeout: 2 * deadlineMs,
            headers: {
                Host: route.host,
                [headerNames.requestId]: requestId,
                [headerNames.deadline]: String(deadlineMs),
            },
        }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.once("error", () => resolve(noAnswer));
            response.once(
                "end",
                () => resolve({ status: response.statusCode!, body: Buffer.concat(chunks).toString() }),
            );
        });
        request.once("timeout", () => request.destroy());
        request.once("error", () => resolve(noAnswer));
        request.end(body);
    });
