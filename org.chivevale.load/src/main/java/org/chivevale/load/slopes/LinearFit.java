package org.chivevale.load.slopes;

import java.util.List;

/**
 * A linear least-squares fit of measured points.
 *
 * <p>Immutable.
 *
 * @param intercept the value at size 0
 * @param slope the value added by each unit of size
 * @param rSquared coefficient of determination, 0 to 1
 */
public record LinearFit(double intercept, double slope, double rSquared) {
    /**
     * A measured point.
     *
     * @param size the independent variable, such as a number of proxies
     * @param value the value measured at this size
     */
    public record Point(double size, double value) {}

    /**
     * Fits a line by least squares.
     *
     * @param points at least two points with different sizes
     * @return the fitted line
     */
    public static LinearFit of(List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double sizeSquares = 0;
        double products = 0;
        double valueSquares = 0;
        for (Point point : points) {
            sizeSquares += (point.size() - meanSize) * (point.size() - meanSize);
            products += (point.size() - meanSize) * (point.value() - meanValue);
            valueSquares += (point.value() - meanValue) * (point.value() - meanValue);
        }
        double slope = products / sizeSquares;
        double explained = valueSquares == 0 ? 1 : slope * products / valueSquares;
        return new LinearFit(meanValue - slope * meanSize, slope, explained);
    }
}
