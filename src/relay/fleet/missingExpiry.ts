/** Removes upstreams from the view when their time to renew their entries is over. */
import { awaitDelay, type Clock } from "../../tasks/_lib/clock";
import { type FleetView } from "./fleetView";

/** Interval of the check for upstreams whose time to renew their entries is over, in milliseconds. */
const expiryCheckMs = 200;

/** Called when upstreams have been removed, and with the exception of a removal that failed. */
export interface MissingExpiryListener {
    readonly onExpired: () => void;
    readonly onFailed: (error: Error) => void;
}

/** Checks the view for as long as it has missing upstreams. */
export class MissingExpiry {
    private isPending = false;

    constructor(
        private readonly view: FleetView,
        private readonly clock: Clock,
        private readonly listener: MissingExpiryListener,
    ) {}

    /** Begins the checks if there are missing upstreams and no check is pending. */
    begin(): void {
        if (this.view.hasMissing && !this.isPending) {
            void this.run();
        }
    }

    private async run(): Promise<void> {
        this.isPending = true;
        while (this.view.hasMissing) {
            await awaitDelay(this.clock, expiryCheckMs);
            this.removeExpired();
        }
        this.isPending = false;
    }

    private removeExpired(): void {
        try {
            if (this.view.expireMissing()) {
                this.listener.onExpired();
            }
        }
        catch (error) {
            this.listener.onFailed(error as Error);
        }
    }
}
