// Renders plots as a single HTML page. ECharts renders them to SVG in this process, so the page needs no scripts,
// network access or other files.
import { init } from 'echarts'
import type { Plot } from './buildPlots.js'

const width = 860
const height = 380
const style = 'body { font: 15px/1.5 sans-serif; max-width: 900px; margin: 2em auto; color: #222 } figure { margin: 2em 0 } figcaption { color: #666 } svg { max-width: 100%; height: auto }'

/** Renders a plot as SVG. */
export function renderPlot ({ option }: Plot): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, width, height })
  try {
    chart.setOption(option)
    return chart.renderToSVGString()
  } finally {
    // A chart that is not disposed of keeps a timer active, which prevents the process from exiting.
    chart.dispose()
  }
}

/** Renders the plots, with their titles and captions, as an HTML page. */
export function renderPage (plots: Plot[]): string {
  const figures = plots.map(plot => `<figure>\n<h2>${escapeText(plot.title)}</h2>\n${renderPlot(plot)}\n<figcaption>${escapeText(plot.caption)}</figcaption>\n</figure>`)
  return [
    '<!DOCTYPE html>',
    '<html lang="en">',
    `<head><meta charset="utf-8"><title>siskinbeam bench</title><style>${style}</style></head>`,
    '<body>',
    '<h1>Siskinbeam benchmark results</h1>',
    ...figures,
    '</body>',
    '</html>'
  ].join('\n') + '\n'
}

const entities: Record<string, string> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' }

/** Escapes text for use in HTML elements and double-quoted attributes. */
export function escapeText (text: string): string {
  return text.replace(/[&<>"]/g, character => entities[character] ?? character)
}
