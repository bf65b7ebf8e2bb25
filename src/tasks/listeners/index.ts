/** Servers that accept requests from callers, from other nodes and from the local upstream. */
import { type Server } from "node:http";
import { type Settings } from "../../settings/types";
import { type Address } from "../../types";
import { HttpCallRequest } from "../_lib/callRequest";
import { closeListener, openListener } from "../_lib/openListener";
import { type Egress } from "../egress";
import { type Ingress } from "../ingress";

/** Opens and closes the ingress and egress servers of a node. */
export class Listeners {
    private ingressServers: readonly Server[] = [];
    private egressServer: Server | undefined;

    constructor(
        private readonly addresses: Settings["listen"],
        private readonly ingress: Ingress,
        private readonly egress: Egress,
    ) {}

    async start(): Promise<void> {
        const { callers, peers, egress } = this.addresses;
        this.ingressServers = await Promise.all([
            this.openIngress(peers, "peer"),
            ...(callers ? [this.openIngress(callers, "caller")] : []),
        ]);
        this.egressServer = await openListener(
            egress,
            (request, response) => this.egress.handle(new HttpCallRequest(request, response)),
        );
    }

    /** Closes the servers for callers and other nodes; calls of the upstream are still accepted. */
    async stopIngress(): Promise<void> {
        await Promise.all(this.ingressServers.map(closeListener));
    }

    /** Closes the server for calls of the upstream. */
    async stopEgress(): Promise<void> {
        if (this.egressServer) {
            await closeListener(this.egressServer);
        }
    }

    private openIngress(address: Address, origin: "caller" | "peer"): Promise<Server> {
        return openListener(
            address,
            (request, response) => this.ingress.handle(new HttpCallRequest(request, response), origin),
        );
    }
}
