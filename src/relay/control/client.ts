/** Calls of the control procedures of other nodes. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { Client } from "undici";
import { readLimitedText } from "../../_lib/readLimitedText";
import { type Address, type Checked, type Fault } from "../../types";
import { checkView } from "./checkAnswers";
import { type NodeView, type RelayRouter } from "./index";

/** Timeout of a control call to another node, in milliseconds. */
const callTimeoutMs = 1_000;
/** Time allowed for opening a connection to another node, in milliseconds. */
const connectTimeoutMs = 400;
const okStatus = 200;
/** Longest answer that is read, in bytes; the records and the routing table of a fleet at the target size take a tenth. */
const maxAnswerBytes = 16 * 1024 * 1024;

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
        const readJson = async (): Promise<unknown> =>
            JSON.parse(await readLimitedText(body, maxAnswerBytes)) as unknown;
        return { ok: statusCode === okStatus, json: readJson };
    }
}

/** Makes one call over a connection of its own; resolves to a fault if the call fails or times out. */
const callOnce = async <Result>(
    address: Address,
    call: (procedures: ControlConnection["procedures"], options: { readonly signal: AbortSignal; }) => Promise<Result>,
): Promise<Checked<Result>> => {
    let connection: ControlConnection | undefined;
    try {
        connection = new ControlConnection(address);
        return { ok: true, value: await call(connection.procedures, { signal: AbortSignal.timeout(callTimeoutMs) }) };
    }
    catch (error) {
        return { ok: false, faults: [{ path: "$", message: (error as Error).message }] };
    }
    finally {
        connection?.close();
    }
};

/**
 * Queries the fleet view of another node; resolves to undefined if the call fails or times out, or if its answer can't be
 * used. `onFault` is called with the cause, and with the faults of records that are left out.
 */
export const queryView = async (
    address: Address,
    onFault: (fault: Fault) => void = () => undefined,
): Promise<NodeView | undefined> => {
    const answer = await callOnce<unknown>(address, ({ view }, options) => view.query(undefined, options));
    const checked = answer.ok ? checkView(answer.value, onFault) : answer;
    if (!checked.ok) {
        onFault(checked.faults[0]!);
        return undefined;
    }
    return checked.value;
};

/** Tells another node that an upstream crashed during a request; resolves to false if the call fails or times out. */
export const sendSuspect = async (address: Address, fingerprint: string, node: string): Promise<boolean> => {
    const { ok } = await callOnce(address, ({ suspect }, options) => suspect.mutate({ fingerprint, node }, options));
    return ok;
};
