/** Checks now and then whether a node that asks other nodes is behind the store. */
import { comparePositions } from "../../decisions/comparePositions";
import { type StorePosition } from "../../routing/types";
import { awaitDelay } from "../../tasks/_lib/clock";
import { type LearningMeans } from "./types";

/** Mean interval between two checks, in milliseconds. */
const intervalMs = 3_000;

/** Means to check, and what is checked. */
export interface StoreCheckOptions extends Omit<LearningMeans, "client"> {
    /** Returns the position up to which the node knows the store; undefined if it needn't be checked. */
    readonly readOwnPosition: () => StorePosition | undefined;
    /** Called when the store has been further than the node for a whole interval. */
    readonly onBehind: () => void;
}

/**
 * The nodes that watch the store may have stopped learning without knowing it, as those of another build do. The check reads
 * a position that may be seconds old, which is cheap for the store: a node that hasn't reached it is behind.
 */
export class StoreCheck {
    /** Position of the store at the last check. */
    private seen: StorePosition | undefined;

    constructor(private readonly options: StoreCheckOptions) {}

    /** Waits for the next check and makes it. */
    async run(): Promise<void> {
        const { reader, clock, sampleRandom, readOwnPosition, onBehind } = this.options;
        await awaitDelay(clock, intervalMs * (0.75 + sampleRandom() / 2));
        const own = readOwnPosition();
        if (!own) {
            this.seen = undefined;
            return;
        }
        if (this.seen && comparePositions(own, this.seen) < 0) {
            this.seen = undefined;
            onBehind();
            return;
        }
        this.seen = await reader.readPosition();
    }
}
