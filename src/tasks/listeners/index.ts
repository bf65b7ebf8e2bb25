/** Opens the HTTP listeners for callers, other nodes and the local upstream. */
import { type Server } from "node:http";
import { type Settings } from "../../settings/types";
import { type Address } from "../../types";
import { HttpCallRequest } from "../_lib/callRequest";
import { closeListener, openListener } from "../_lib/openListener";
import { type Egress } from "../egress";
import { type Ingress } from "../ingress";

/** Opens and closes the listeners of a node for ingress and egress. */
export class Listeners {
    private ingressServers: readonly Server[] = [];
    private egressServer: Server | undefined;

    constructor(
        private readonly addresses: Settings["listen"],
        private readonly ingress: Ingress,
        private readonly egress: Egress,
    ) {}

    /** Opens all listeners; rejects if an address can't be bound. */
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

    /** Closes the listeners for callers and other nodes; the upstream can still make calls. */
    async stopIngress(): Promise<void> {
        await Promise.all(this.ingressServers.map(closeListener));
    }

    /** Closes the listener for calls of the upstream. */
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
