/** HTTP handler for the procedures of a tRPC router. Unlike tRPC's own, it needs no fetch classes, which load slowly. */
import { type AnyRouter, getTRPCErrorFromUnknown, TRPCError } from "@trpc/server";
import { getHTTPStatusCodeFromError } from "@trpc/server/http";
import { TRPC_ERROR_CODES_BY_KEY } from "@trpc/server/rpc";
import { type IncomingMessage, type RequestListener } from "node:http";
import { parseJson } from "../../_lib/parseJson";
import { readBody } from "../../tasks/_lib/readBody";

/** Maximum size of the input of a mutation, in bytes. */
const maxInputBytes = 64 * 1024;
const okStatus = 200;
const queryMethod = "GET";
const mutationMethod = "POST";

const parseInput = (text: string | undefined): unknown => {
    if (text === undefined || text === "") {
        return undefined;
    }
    const parsed = parseJson(text);
    if (!parsed.ok) {
        throw new TRPCError({ code: "PARSE_ERROR", message: `input: ${parsed.faults[0]!.message}` });
    }
    return parsed.value;
};

const readText = (request: IncomingMessage): Promise<string> =>
    new Promise((resolve, reject) =>
        readBody(request, { buffered: true, maxBytes: maxInputBytes }, result => {
            if (result.kind !== "body") {
                reject(new TRPCError({ code: "PAYLOAD_TOO_LARGE", message: `input: ${result.kind}` }));
                return;
            }
            resolve(Buffer.isBuffer(result.body) ? result.body.toString("utf8") : "");
        })
    );

/** Calls the procedure that a request names; rejects if there is none, its input is invalid or it fails. */
const callProcedure = async (router: AnyRouter, basePath: string, request: IncomingMessage): Promise<unknown> => {
    const { pathname, searchParams } = new URL(request.url!, "http://node");
    const name = pathname.slice(basePath.length);
    const procedures: Readonly<Record<string, { readonly _def: { readonly type: string; }; }>> = router._def.procedures;
    if (!pathname.startsWith(basePath) || !Object.hasOwn(procedures, name)) {
        throw new TRPCError({ code: "NOT_FOUND", message: `no procedure at ${pathname}` });
    }
    const isQuery = procedures[name]!._def.type === "query";
    if (request.method !== (isQuery ? queryMethod : mutationMethod)) {
        throw new TRPCError({ code: "METHOD_NOT_SUPPORTED", message: `${request.method} on ${pathname}` });
    }
    const input = parseInput(isQuery ? searchParams.get("input") ?? undefined : await readText(request));
    const caller = router.createCaller({}) as Readonly<Record<string, (input: unknown) => Promise<unknown>>>;
    return await caller[name]!(input);
};

const describeError = (error: TRPCError): object => ({
    error: {
        message: error.message,
        code: TRPC_ERROR_CODES_BY_KEY[error.code],
        data: { code: error.code, httpStatus: getHTTPStatusCodeFromError(error) },
    },
});

/** Creates a handler that serves the procedures of a router, without batches, under a path that ends with a slash. */
export const createProcedureHandler = (router: AnyRouter, basePath: string): RequestListener => (request, response) => {
    const sendJson = (status: number, value: object): void => {
        response.writeHead(status, { "Content-Type": "application/json" });
        response.end(JSON.stringify(value));
    };
    callProcedure(router, basePath, request).then(
        data => sendJson(okStatus, { result: { data } }),
        (reason: unknown) => {
            const error = getTRPCErrorFromUnknown(reason);
            sendJson(getHTTPStatusCodeFromError(error), describeError(error));
        },
    );
};
