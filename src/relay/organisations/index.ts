/** Organisations of the routing table: their keys and their quotas. */
import { randomUUID } from "node:crypto";
import { type RoutingTable } from "../../routing/types";
import { type RelaySettings } from "../types";
import { CallerKeys } from "./callerKeys";
import { type KeyNames } from "./parseKey";
import { QuotaTokens, type QuotaTokensDependencies } from "./quotaTokens";

/** Names of the headers with keys, the age of the routing table, and what the quotas need. */
export interface OrganisationsDependencies extends Pick<QuotaTokensDependencies, "clock" | "queryTokens" | "onHolder"> {
    readonly keyNames: KeyNames;
    readonly readTableAgeMs: () => number;
}

/** Identifies organisations by keys, and lets their requests in within their quotas. */
export class Organisations {
    readonly keys: CallerKeys;
    readonly tokens: QuotaTokens;

    constructor(settings: RelaySettings, { keyNames, readTableAgeMs, ...dependencies }: OrganisationsDependencies) {
        const { host, failureDomain, quotaBounds, keyBounds } = settings;
        this.keys = new CallerKeys(keyNames, keyBounds, readTableAgeMs);
        this.tokens = new QuotaTokens({
            ...dependencies,
            incarnation: randomUUID(),
            host,
            failureDomain,
            bounds: quotaBounds,
        });
    }

    adopt(table: RoutingTable): void {
        this.keys.adopt(table);
        this.tokens.adopt(table);
    }
}
