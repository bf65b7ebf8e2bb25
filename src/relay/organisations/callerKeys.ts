/** Identifies the organisations of requests by their keys. */
import { judgeKey, type KeyAgeBounds } from "../../decisions/judgeKey";
import { computeKeyDigest } from "../../routing/computeKeyDigest";
import { type Organisation, type RoutingTable } from "../../routing/types";
import { type KeyNames, parseKey } from "./parseKey";

/** Who has sent a request, or why that can't be told. */
export type KeyIdentity =
    /** The organisation is undefined where requests carry no keys. */
    | { readonly kind: "accepted"; readonly organisation: Organisation | undefined; }
    | { readonly kind: "missing"; }
    | { readonly kind: "malformed"; }
    | { readonly kind: "unknown"; }
    | { readonly kind: "unproven"; readonly tableAgeMs: number; };

const accepted: KeyIdentity = { kind: "accepted", organisation: undefined };

/** Looks up keys by their digests in the routing table that is in force. */
export class CallerKeys {
    private organisations: ReadonlyMap<string, Organisation> | undefined;

    /** `readTableAgeMs` returns the longest time for which the routing table may have been outdated, in milliseconds. */
    constructor(
        private readonly keyNames: KeyNames,
        private readonly keyBounds: KeyAgeBounds,
        private readonly readTableAgeMs: () => number,
    ) {}

    /** Whether requests carry keys, which upstreams must not see. */
    get isRequired(): boolean {
        return this.organisations !== undefined;
    }

    adopt({ organisations }: RoutingTable): void {
        this.organisations = organisations && new Map(
            organisations.flatMap(organisation =>
                organisation.keyDigests.map(digest => [digest, organisation] as const)
            ),
        );
    }

    /** Identifies the sender of a direct request. Requests of public routes need no key, and get no organisation. */
    identify(rawHeaders: readonly string[], isPublic: boolean): KeyIdentity {
        if (!this.organisations || isPublic) {
            return accepted;
        }
        const parsed = parseKey(rawHeaders, this.keyNames);
        if (parsed.kind !== "key") {
            return { kind: parsed.kind === "none" ? "missing" : "malformed" };
        }
        const organisation = this.organisations.get(computeKeyDigest(parsed.key));
        const tableAgeMs = this.readTableAgeMs();
        const verdict = judgeKey(organisation !== undefined, tableAgeMs, this.keyBounds);
        if (verdict === "accepted") {
            return { kind: "accepted", organisation };
        }
        return verdict === "unknown" ? { kind: "unknown" } : { kind: "unproven", tableAgeMs };
    }
}
