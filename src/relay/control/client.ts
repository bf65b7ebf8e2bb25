/** Calls of the control procedures of other nodes. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { Client } from "undici";
import { type Address } from "../../types";
import { type NodeView, type RelayRouter } from "./index";

/** Timeout of a control call to another node, in milliseconds. */
const callTimeoutMs = 1_000;
/** Time allowed for opening a connection to another node, in milliseconds. */
const connectTimeoutMs = 400;
const okStatus = 200;

type ClientFetch = NonNullable<Parameters<typeof httpLink>[0]["fetch"]>;

/** Kept connection to the control listener of one node. */
export class ControlConnection {
    readonly procedures: ReturnType<typeof createTRPCClient<RelayRouter>>;
    private readonly connection: Client;

    constructor({ host, port }: Address) {
        const origin = `http://${host}:${port}`;
        this.connection = new Client(origin, { connect: { timeout: connectTimeoutMs } });
        const fetch: ClientFetch = (input, options) => this.sendRequest(String(input), options);
        this.procedures = createTRPCClient<RelayRouter>({ links: [httpLink({ url: `${origin}/trpc`, fetch })] });
    }

    close(): void {
        void this.connection.destroy();
    }

    /** Sends a request of the tRPC client over the connection. The global fetch would load slowly. */
    private async sendRequest(input: string, options: Parameters<ClientFetch>[1]): ReturnType<ClientFetch> {
        const { pathname, search } = new URL(input);
        const { body, statusCode } = await this.connection.request({
            method: options?.method === "POST" ? "POST" : "GET",
            path: pathname + search,
            headers: options?.headers as Readonly<Record<string, string>>,
            body: options?.body as string | undefined,
            signal: options?.signal as AbortSignal,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        return { ok: statusCode === okStatus, json: () => body.json() };
    }
}

/** Makes one call over a connection of its own; resolves to undefined if the call fails or times out. */
const callOnce = async <Result>(
    address: Address,
    call: (procedures: ControlConnection["procedures"], options: { readonly signal: AbortSignal; }) => Promise<Result>,
): Promise<Result | undefined> => {
    const connection = new ControlConnection(address);
    try {
        return await call(connection.procedures, { signal: AbortSignal.timeout(callTimeoutMs) });
    }
    catch {
        return undefined;
    }
    finally {
        connection.close();
    }
};

/** Queries the fleet view of another node; resolves to undefined if the call fails or times out. */
export const queryView = (address: Address): Promise<NodeView | undefined> =>
    callOnce(address, async ({ view }, options) => await view.query(undefined, options) as NodeView);

/** Tells another node that an upstream crashed during a request; resolves to false if the call fails or times out. */
export const sendSuspect = async (address: Address, fingerprint: string, node: string): Promise<boolean> =>
    await callOnce(address, async ({ suspect }, options) => {
        await suspect.mutate({ fingerprint, node }, options);
        return true;
    }) === true;
