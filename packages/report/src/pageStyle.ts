/**
 * Style sheet of the page: one column on narrow screens, two on wide ones; follows the light or
 * dark colour scheme of the device.
 */
const pageStyle = `
:root { color-scheme: light dark; --ink: #1c1c1c; --paper: #fff; --faint: #d8d8d8;
  --blue: #0072b2; --orange: #d55e00; --red: #b00020; }
@media (prefers-color-scheme: dark) { :root { --ink: #ececec; --paper: #161616; --faint: #444;
  --blue: #56b4e9; --orange: #e69f00; --red: #ff6b6b; } }
* { box-sizing: border-box; }
body { margin: 0 auto; padding: 1rem; max-width: 76rem; background: var(--paper);
  color: var(--ink); font: 1rem/1.45 system-ui, sans-serif; }
h1 { font-size: 1.4rem; margin: 0 0 .25rem; }
h2 { font-size: 1.1rem; margin: 0 0 .5rem; overflow-wrap: anywhere; }
main { display: grid; gap: 1rem; grid-template-columns: minmax(0, 1fr); }
@media (min-width: 60rem) { main { grid-template-columns: repeat(2, minmax(0, 1fr)); } }
section { border: 1px solid var(--faint); border-radius: .5rem; padding: 1rem; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; font-size: .85rem; font-variant-numeric: tabular-nums; width: 100%; }
th, td { padding: .2rem .5rem; text-align: right; white-space: nowrap; border-top: 1px solid var(--faint); }
th:first-child, td:first-child { text-align: left; }
caption { text-align: left; font-weight: 600; padding: .5rem 0 .25rem; }
.alert { color: var(--red); font-weight: 600; }
svg { display: block; width: 100%; height: auto; }
.grid { stroke: var(--faint); stroke-width: .5; }
.tick { fill: var(--ink); font-size: 10px; }
.threshold { stroke: var(--red); stroke-width: .7; stroke-dasharray: 2 3; }
.line { fill: none; stroke-width: 1.6; }
.availability { stroke: var(--blue); }
.latency { stroke: var(--orange); stroke-dasharray: 5 2; }
.key { font-size: .85rem; margin: .25rem 0; }
.key .blue { color: var(--blue); } .key .orange { color: var(--orange); } .key .red { color: var(--red); }
`;

export default pageStyle;
