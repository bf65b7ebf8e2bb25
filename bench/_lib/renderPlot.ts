/** Renders SVG plots of goodput over time. */
import { type GoodputPoint } from "../types";

/** One curve of the plot, with its label in the legend. */
export interface PlotLine {
    readonly label: string;
    readonly color: string;
    readonly points: readonly GoodputPoint[];
}

/** Title, time axis and trigger period of a plot. */
export interface PlotOptions {
    readonly title: string;
    readonly triggerStartMs: number;
    readonly triggerEndMs: number;
    readonly durationMs: number;
}

const width = 880;
const height = 360;
const margin = { left: 60, right: 20, top: 40, bottom: 60 };
const valueIntervalCount = 5;
const timeTickIntervalMs = 5_000;

const escapeText = (text: string): string => text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");

const renderText = (x: number, y: number, text: string, attributes = ""): string =>
    `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" ${attributes}>${escapeText(text)}</text>`;

/** Renders curves of goodput over time as SVG. The time from the start to the end of the trigger is shaded. */
export const renderPlot = (lines: readonly PlotLine[], options: PlotOptions): string => {
    // The value axis ends 5% above the highest point.
    const axisMaxPerSecond = Math.max(1, ...lines.flatMap(line => line.points.map(point => point.perSecond))) * 1.05;
    const plotWidth = width - margin.left - margin.right;
    const plotHeight = height - margin.top - margin.bottom;
    const scaleX = (atMs: number): number => margin.left + atMs / options.durationMs * plotWidth;
    const scaleY = (perSecond: number): number => margin.top + plotHeight - perSecond / axisMaxPerSecond * plotHeight;
    const valueTicks = [...Array(valueIntervalCount + 1).keys()].map(index =>
        index / valueIntervalCount * axisMaxPerSecond
    );
    const timeTicksMs = [...Array(Math.floor(options.durationMs / timeTickIntervalMs) + 1).keys()].map(index =>
        index * timeTickIntervalMs
    );
    const grid = [
        ...valueTicks.flatMap(value => [
            `<line x1="${margin.left}" x2="${width - margin.right}" y1="${scaleY(value)}" y2="${
                scaleY(value)
            }" stroke="#ddd"/>`,
            renderText(margin.left - 6, scaleY(value) + 4, value.toFixed(0), 'text-anchor="end"'),
        ]),
        ...timeTicksMs.map(atMs =>
            renderText(scaleX(atMs), height - margin.bottom + 18, `${atMs / 1_000} s`, 'text-anchor="middle"')
        ),
    ];
    const triggerWidth = scaleX(options.triggerEndMs) - scaleX(options.triggerStartMs);
    const curves = lines.map(line => {
        const points = line.points.map(point =>
            `${scaleX(point.atMs).toFixed(1)},${scaleY(point.perSecond).toFixed(1)}`
        );
        return `<polyline fill="none" stroke="${line.color}" stroke-width="2" points="${points.join(" ")}"/>`;
    });
    const legend = lines.flatMap((line, index) => {
        const x = margin.left + index * 200;
        const y = height - 18;
        return [
            `<line x1="${x}" x2="${x + 24}" y1="${y - 4}" y2="${y - 4}" stroke="${line.color}" stroke-width="3"/>`,
            renderText(x + 30, y, line.label),
        ];
    });
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
        `<rect width="${width}" height="${height}" fill="white"/>`,
        renderText(margin.left, 22, options.title, 'font-size="15"'),
        `<rect x="${
            scaleX(options.triggerStartMs)
        }" y="${margin.top}" width="${triggerWidth}" height="${plotHeight}" fill="#fbe3d6"/>`,
        ...grid,
        ...curves,
        ...legend,
        "</svg>",
        "",
    ].join("\n");
};
