// Renders plots as one HTML page. The plots are SVG made by echarts in this process, so the page needs
// no script, no network and no other file.
import { init } from 'echarts'
import type { Plot } from './buildPlots.js'

const width = 860
const height = 380
const style = 'body { font: 15px/1.5 sans-serif; max-width: 900px; margin: 2em auto; color: #222 } figure { margin: 2em 0 } figcaption { color: #666 } svg { max-width: 100%; height: auto }'

/** Renders one plot as SVG. */
export function renderPlot ({ option }: Plot): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, width, height })
  try {
    chart.setOption(option)
    return chart.renderToSVGString()
  } finally {
    // A chart that is not disposed keeps a timer, and with it the process.
    chart.dispose()
  }
}

/** Renders the page. */
export function renderPage (plots: Plot[]): string {
  const figures = plots.map(plot => `<figure>\n<h2>${escapeText(plot.title)}</h2>\n${renderPlot(plot)}\n<figcaption>${escapeText(plot.note)}</figcaption>\n</figure>`)
  return [
    '<!DOCTYPE html>',
    '<html lang="en">',
    `<head><meta charset="utf-8"><title>siskinbeam bench</title><style>${style}</style></head>`,
    '<body>',
    '<h1>Results of the siskinbeam bench</h1>',
    ...figures,
    '</body>',
    '</html>'
  ].join('\n') + '\n'
}

const entities: Record<string, string> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' }

/** Escapes text for HTML. */
export function escapeText (text: string): string {
  return text.replace(/[&<>"]/g, character => entities[character] ?? character)
}
